"""Long runs of a real proxy on the test bed: memory stays flat and each cap holds under abuse."""
