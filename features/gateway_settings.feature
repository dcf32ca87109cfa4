Feature: A running gateway takes over changed settings and survives wrong ones

  Scenario Outline: A change of <field> is in force <how>
    Given a running gateway whose settings are read from a file
    When the file's "<field>" becomes "<value>" and <signal> comes
    And the gateway runs for <seconds> seconds more
    Then the change of "<field>" is in force
    And the log tells "settings_taken" with "<told>" in "<where>"

    Examples:
      | field              | value | signal    | seconds | how              | told         | where           |
      | retry_extra        | 7     | no signal | 2.1     | without a signal | retry_budget | in_force        |
      | retry_extra        | 7     | a signal  | 0.1     | at once          | retry_budget | in_force        |
      | revoke_ms          | 900   | a signal  | 0.1     | at once          | bounds       | in_force        |
      | version_ms         | 5000  | a signal  | 0.1     | at once          | bounds       | in_force        |
      | lease_ms           | 4000  | a signal  | 0.1     | at once          | bounds       | in_force        |

  Scenario: A changed address counts from the next start, and the log says so
    Given a running gateway whose settings are read from a file
    When the file's "frontend" becomes "10.9.9.9:1" and a signal comes
    And the gateway runs for 0.1 seconds more
    Then the log tells "settings_taken" with "callers" in "from_next_start"

  Scenario Outline: <problem> keeps the last good settings in force
    Given a running gateway whose settings are read from a file
    When the file suffers "<problem>" and a signal comes
    And the gateway runs for 10 seconds more
    Then the settings in force are those of the start
    And the log tells once that they are unreadable, with "<remedy>"

    Examples:
      | problem         | remedy           |
      | no file         | check the path   |
      | no TOML         | correct the file |
      | a field missing | correct the file |
      | a wrong type    | correct the file |
      | a wrong address | write IP:PORT    |
