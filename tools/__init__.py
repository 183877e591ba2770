"""Development tools: the test run, its verdict, and the README's commands."""
