Feature: A node without a configuration gets one as soon as a peer is reachable
  Guards against a restarted node that backs off so far while it is cut off that it stays without a
  configuration long after the partition has healed.

  Scenario Outline: A node restarts while cut off from all others, and the partition heals
    Given a configured fleet of 2 nodes whose store is down
    When a node restarts cut off from all others and the cut heals after <cut> s
    Then the restarted node has the configuration within 1 s of healing

    Examples:
      | cut |
      | 2   |
      | 5   |
      | 12  |
      | 31  |
