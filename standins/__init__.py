"""Simulated platform services and targets for tests and demos."""
