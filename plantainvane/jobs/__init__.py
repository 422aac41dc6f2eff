"""Job scheduler: runs the steps of jobs as tasks on runners, under leases."""
