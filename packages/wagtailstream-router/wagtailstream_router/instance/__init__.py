"""How far behind an instance is, and what it does about it."""
