"""Discovery of backends: reads the platform's list and publishes the catalogue."""
