"""Parts that every plane of the serving system shares: settings, errors, messages, connections, logs."""
