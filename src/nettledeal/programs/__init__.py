"""The binaries of the serving system: each assembles the libraries of its plane."""
