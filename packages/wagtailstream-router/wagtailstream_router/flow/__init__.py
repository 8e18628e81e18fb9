"""Bounds what an instance holds for peers that read slowly."""
