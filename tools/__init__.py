"""Development tools: run all tests, judge the results, and extract the commands of the README."""
