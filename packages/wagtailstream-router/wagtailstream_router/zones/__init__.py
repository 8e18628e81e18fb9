"""Emptied data centres and cold endpoints: who may get requests, and when."""
