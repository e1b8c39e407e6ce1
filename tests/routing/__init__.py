"""Tests of the decisions, one file for each module or concern."""
