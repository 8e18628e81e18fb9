"""The filters that a request passes, in a row."""
