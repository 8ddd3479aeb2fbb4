"""Schedule the tasks of jobs on workers, and manage the machines that the workers run on."""
