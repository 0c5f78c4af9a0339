"""The data plane: what each agent does with a client's request."""
