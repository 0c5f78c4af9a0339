"""Bridge to the simulator: a codec for its line protocol and a host loop. No decisions here."""
