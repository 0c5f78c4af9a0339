"""Protocol parsing and encoding for clients, backends, discovery and the admin port, without sockets."""
