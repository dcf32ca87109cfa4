Feature: A running gateway applies changed settings and survives invalid ones
  Operators edit the settings file of a running node. A change that is ignored, or an invalid file
  that ends the node or replaces its valid settings, would cost requests.

  Scenario Outline: A change of <field> takes effect <how>
    Given a running gateway whose settings are read from a file
    When the file's "<field>" becomes "<value>" and <signal> is sent
    And the gateway runs for <seconds> seconds more
    Then the change of "<field>" is in force
    And the log has one event "settings_taken" with "<logged>" in its field "<log_field>"

    Examples:
      | field              | value | signal    | seconds | how              | logged       | log_field       |
      | retry_extra        | 7     | no signal | 2.1     | without a signal | retry_budget | in_force        |
      | retry_extra        | 7     | a signal  | 0.1     | at once          | retry_budget | in_force        |
      | revoke_ms          | 900   | a signal  | 0.1     | at once          | bounds       | in_force        |
      | version_ms         | 5000  | a signal  | 0.1     | at once          | bounds       | in_force        |
      | lease_ms           | 4000  | a signal  | 0.1     | at once          | bounds       | in_force        |

  Scenario: A changed address takes effect at the next start, and the log states this
    Given a running gateway whose settings are read from a file
    When the file's "frontend" becomes "10.9.9.9:1" and a signal is sent
    And the gateway runs for 0.1 seconds more
    Then the log has one event "settings_taken" with "callers" in its field "from_next_start"

  Scenario Outline: After <problem> the last valid settings stay in force
    Given a running gateway whose settings are read from a file
    When the file has the problem "<problem>" and a signal is sent
    And the gateway runs for 10 seconds more
    Then the settings in force are those of the start
    And the log has one event for unreadable settings, with "<remedy>"

    Examples:
      | problem         | remedy           |
      | no file         | check the path   |
      | no TOML         | correct the file |
      | a field missing | correct the file |
      | a wrong type    | correct the file |
      | a wrong address | write IP:PORT    |
