Feature: Every command in the docs runs

  Scenario: The commands of the command line's page run one after the other
    A command in the docs fails for a new user, because a flag was renamed or the
    command was never tried.
    Given a site as the first command of the docs sets it up
    When every console line of "cli.md" is run in a directory with its files
    Then each exits with 0

  Scenario: Examples of the help parse
    An example in a command's help names a flag that the command does not have.
    Then every example of every command's help has only flags that exist
