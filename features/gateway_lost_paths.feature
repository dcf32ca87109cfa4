Feature: A node that has lost its paths to the back ends still serves its callers, and misleads nobody

  # Guards against nodes that reach callers, store and peers but no back end, and refuse everything.
  Scenario Outline: Callers of nodes without paths to the back ends are served like others
    Given 7 nodes in 4 zones and 5 back ends of each service that nodes may lose
    When after 2 seconds <cut> lose their paths to all back ends for 10 seconds, "<loss>"
    And each node gets a request for "<path>" every 0.25 seconds for 14 seconds
    Then 3 seconds after the loss the cut nodes serve at least two thirds as often as the others
    And at most 10 requests and 1 in 50 fail 3 seconds after the loss

    Examples:
      | cut                     | loss    | path |
      | "node-1"                | silent  | /a/1 |
      | "node-1"                | reset   | /s/1 |
      | "node-1 node-2"         | silent  | /s/1 |
      | "node-1 node-2"         | refused | /o/1 |
      | "node-1 node-2"         | refused | /a/1 |
      | "node-1 node-2"         | silent  | /o/1 |
      | "node-1 node-5"         | silent  | /a/1 |
      | "node-1 node-5"         | reset   | /a/1 |
      | "node-1 node-2 node-3 node-5" | silent | /s/1 |
      | "node-1 node-2 node-3 node-5" | refused | /f/1 |

  Scenario Outline: Callers are served although the lost paths <how>
    Given 7 nodes in 4 zones and 5 back ends of each service that nodes may lose
    When after 2 seconds "node-1 node-2" lose their paths for 12 seconds, and these <how>
    And each node gets a request for "/s/1" every 0.25 seconds for 16 seconds
    Then 3 seconds after the loss the cut nodes serve at least two thirds as often as the others
    And at most 10 requests and 1 in 50 fail 3 seconds after the loss
    And no other node suspects a back end

    Examples:
      | how                                        |
      | come back for a second each second         |
      | come back for 3 seconds after 3 seconds    |
      | are those to one service only              |

  Scenario: Many kept connections do not hide that the paths are lost
    Given 7 nodes in 4 zones and 5 back ends of each service that nodes may lose
    When node-1 has had 100 requests for "/o/1" at once
    And after 2 seconds "node-1" lose their paths to all back ends for 10 seconds, "silent"
    And each node gets a request for "/o/1" every 0.25 seconds for 14 seconds
    Then 3 seconds after the loss the cut nodes serve at least two thirds as often as the others

  Scenario Outline: What a node relays runs at most once, and what is refused has not run
    Given 7 nodes in 4 zones and 5 back ends of each service that nodes may lose
    When after 2 seconds "node-1 node-2" lose their paths to all back ends for 8 seconds, "<loss>"
    And <event>
    And each node gets a request for "/o/1" every 0.1 seconds for 12 seconds
    Then no request runs twice
    And no request that a node refused has run

    Examples:
      | loss    | event                                               |
      | silent  | nothing else happens                                |
      | reset   | nothing else happens                                |
      | silent  | two of the other nodes are killed 4 seconds later   |
      | refused | two of the other nodes freeze for 2 seconds         |

  Scenario: The run of a relayed request ends when its caller leaves
    Given 3 nodes in 1 zones and 3 back ends of each service that nodes may lose
    When after 1 seconds "node-1" lose their paths to all back ends for 10 seconds, "refused"
    And a caller of node-1 leaves in the middle of a relayed stream
    Then its run ends with it

  Scenario: A tenant's requests count once, whoever relays them
    Given 3 nodes in 1 zones and 3 back ends of each service that nodes may lose
    When after 1 seconds "node-1" lose their paths to all back ends for 10 seconds, "refused"
    And each node gets a request for "/s/1" every 0.25 seconds for 8 seconds
    Then each request is logged once, at the node that received it
    And the sum of all loads is none at the end

  Scenario Outline: A back end that really ends is known to all nodes, although others are cut
    Given 7 nodes in 4 zones and 5 back ends of each service that nodes may lose
    When after 2 seconds "node-1 node-2" lose their paths to all back ends for 10 seconds, "<loss>"
    And 4 seconds later the process of "o-1" ends
    And each node gets a request for "/s/1" every 0.25 seconds for 12 seconds
    Then all other nodes suspect "o-1" and no other back end

    Examples:
      | loss    |
      | silent  |
      | refused |

  Scenario: A holder of the lease that loses its paths gives no orders through others
    Given 5 nodes in 1 zones and 4 back ends of each service that nodes may lose
    When the holder of the lease loses its paths for 12 seconds, and newer weights are named
    Then the holder gives up the lease, and another node orders all loads

  Scenario: Nothing is opened through nodes that are cut as well
    Given 3 nodes in 1 zones and 3 back ends of each service that nodes may lose
    When after 2 seconds "node-1 node-2 node-3" lose their paths to all back ends for 5 seconds, "silent"
    And each node gets a request for "/s/1" every 0.25 seconds for 12 seconds
    Then no request is served from 1 to 5 seconds after the loss, and all are from 7 seconds on

  # Guards against a node whose own lost paths open the circuits of sound back ends at all nodes.
  Scenario Outline: A node without paths to the back ends casts no doubt on them at other nodes
    Given 7 nodes in 4 zones and 5 back ends of each service that nodes may lose
    When after 2 seconds <cut> lose their paths to all back ends for 10 seconds, "<loss>"
    And each node gets a request for "/s/1" every 0.25 seconds for 14 seconds
    Then no other node suspects a back end

    Examples:
      | cut             | loss    |
      | "node-1"        | silent  |
      | "node-1"        | reset   |
      | "node-1 node-2" | refused |
      | "node-1 node-5" | silent  |
      | "node-1 node-2 node-3 node-4 node-5 node-6" | silent  |
      | "node-1 node-2 node-3 node-4 node-5 node-6" | refused |

  # Guards against a refused connection on a lost path that counts as proof of a crash.
  Scenario Outline: A node without paths to the back ends takes none of them for crashed
    Given 7 nodes in 4 zones and 5 back ends of each service that nodes may lose
    When after 2 seconds <cut> lose their paths to all back ends for 6 seconds, "<loss>"
    And each node gets a request for "/a/1" every 0.1 seconds for 10 seconds
    Then no back end counts as crashed and no request as a cause of crashes

    Examples:
      | cut                                         | loss   |
      | "node-1"                                    | silent |
      | "node-1"                                    | reset  |
      | "node-1 node-2 node-3 node-4 node-5 node-6" | reset  |
