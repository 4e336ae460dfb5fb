"""Priority levels of zones: capacity estimates, the states of zones, spillover and recovery ramps."""
