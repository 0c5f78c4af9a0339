"""The bench's wire: a codec and a host loop. Nothing is decided here."""
