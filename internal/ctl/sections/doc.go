// Package sections reads documents from section files and long documents,
// converts between the two and enforces the list of section owners. A long
// document is a single file with all sections.
package sections
