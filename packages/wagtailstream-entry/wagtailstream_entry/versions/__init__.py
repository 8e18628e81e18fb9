"""Which versions get work: ratings and the watch on bad ones."""
