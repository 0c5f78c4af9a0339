"""Sockets, one greenlet a connection, in blocking style. What goes where is decided elsewhere."""
