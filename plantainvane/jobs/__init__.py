"""Jobs: steps of tasks that runners execute under leases."""
