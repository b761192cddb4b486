"""Control: answers the commands of operators and their tools at a running proxy."""
