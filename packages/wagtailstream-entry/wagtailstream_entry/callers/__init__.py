"""The callers' side: HTTP handlers and what they answer."""
