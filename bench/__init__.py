"""Measurements of the scheduling and request policies and their cost.

Policies are compared with a baseline in the same run.
"""
