"""Admission: room of endpoints, the queue of waiters, customers' shares."""
