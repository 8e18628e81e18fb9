"""Which engines a choice weighs, and how fast they are."""
