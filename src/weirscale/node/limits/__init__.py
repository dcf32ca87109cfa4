"""The task that admits requests: tenant limits over the fleet, fair queue, shedding."""
