"""Long runs of a real proxy in the lab: its memory should stay flat and each cap hold under abuse."""
