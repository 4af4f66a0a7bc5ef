// Package sections reads documents from section files and long documents,
// converts between the two and enforces who owns a section.
package sections
