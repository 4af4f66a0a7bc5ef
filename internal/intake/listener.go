package intake

import "net"

// guardedListener accepts connections for a class of clients while there is room.
type guardedListener struct {
	net.Listener
	guard *Guard
	class Class
}

// Accept implements net.Listener. It closes connections for which there is no room.
func (l *guardedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if admitted := l.guard.admit(c, l.class); admitted != nil {
			return admitted, nil
		}
		_ = c.Close()
	}
}
