"""The task that admits requests: fleet-wide tenant limits, fair queue, load shedding."""
