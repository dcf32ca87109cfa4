Feature: A node without a configuration gets one as soon as anybody can give it
  Scenario Outline: A node restarts cut off from all, and the cut heals
    Given a configured fleet of 2 nodes whose store is down
    When a node restarts cut off from all others and the cut heals after <cut> s
    Then the restarted node has the configuration within 1 s of healing

    Examples:
      | cut |
      | 2   |
      | 5   |
      | 12  |
      | 31  |
