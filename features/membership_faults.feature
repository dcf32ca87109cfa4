Feature: Membership of nodes under faults

  Guards against nodes that disagree for long about which nodes run, and against running nodes that
  are declared dead because of packet loss, partitions, pauses, old updates or forged messages.

  Scenario Outline: All live nodes agree on a change in time
    Given a fleet of <nodes> nodes in <zones> zones, seed <seed>, losing <loss> % of datagrams
    When the fleet goes through <event>
    Then all live nodes agree within <limit> s

    Examples:
      | nodes | zones | seed | loss | event                          | limit |
      | 5     | 1     | 1    | 0    | a crash                        | 5     |
      | 24    | 3     | 2    | 0    | a crash                        | 5     |
      | 24    | 3     | 3    | 5    | a crash                        | 5     |
      | 24    | 3     | 4    | 0    | a crash of a whole zone        | 8     |
      | 24    | 3     | 5    | 0    | a crash of five ring neighbours | 10   |
      | 5     | 1     | 6    | 0    | a join                         | 3     |
      | 24    | 3     | 7    | 0    | a join                         | 3     |
      | 24    | 3     | 8    | 5    | a join                         | 3     |
      | 24    | 3     | 9    | 0    | a restart under the same name  | 3     |
      | 24    | 3     | 10   | 0    | an orderly leave               | 2     |
      | 24    | 3     | 11   | 0    | a replacement of half of the nodes at once  | 10    |

  Scenario Outline: Poor links and pauses do not make a running node be declared dead
    Given a fleet of 18 nodes in 2 zones, seed <seed>, losing <loss> % of datagrams
    When the fleet runs for 30 s with <fault>
    Then no node ever regarded a running node as dead

    Examples:
      | seed | loss | fault                                 |
      | 21   | 0    | no fault                              |
      | 22   | 10   | no fault                              |
      | 23   | 2    | pauses of 1 s of random nodes         |
      | 24   | 0    | a one-way partition from one node to another |
      | 25   | 0    | a one-way partition from a node to a third of the nodes |

  Scenario Outline: A node that resumes after a pause does not accuse the others
    Given a fleet of 12 nodes in 3 zones, seed <seed>, losing 0 % of datagrams
    When one node is paused for <pause> s and resumes
    Then the other nodes never regarded one another as dead
    And the resumed node never regarded another node as dead
    And all live nodes agree within 10 s

    Examples:
      | seed | pause |
      | 31   | 2     |
      | 32   | 10    |
      | 33   | 60    |

  Scenario: A late tick concludes nothing from acks and refutations that could not be received
    Given a node with a probe in flight and a suspicion of another member
    When the next tick of the node is 60 s late
    Then the probed member is not suspected and the suspect is not dead
    And the suspect is declared dead when no refutation arrives within the suspicion timeout

  Scenario Outline: Membership views merge after a partition heals
    Given a fleet of 16 nodes in 4 zones, seed <seed>, losing 0 % of datagrams
    When <partition> lasts <length> s and heals
    Then each side had declared the other dead if the partition <outcome>
    And all live nodes agree within 20 s

    Examples:
      | seed | partition                               | length | outcome     |
      | 41   | a partition of the halves               | 30     | was long    |
      | 42   | a partition of one zone                 | 30     | was long    |
      | 44   | a partition of the halves without seeds | 30     | was long    |
      | 43   | a partition of the halves               | 1      | was short   |

  Scenario: A leaving node is regarded as leaving, then as gone, and old updates do not bring it back
    Given a fleet of 10 nodes in 2 zones, seed 51, losing 0 % of datagrams
    When a node announces that it leaves
    Then all other nodes regard it as leaving within 2 s
    When the leaving node departs and an old ALIVE update about it is gossiped
    Then no node regards the departed node as alive

  Scenario Outline: An update is applied only when it takes precedence
    Given a membership state that holds member "m" at incarnation 5, refutations 2, state <held>
    When an update arrives with incarnation <incarnation>, refutations <refutations>, state <update>
    Then the member has state <result>

    Examples:
      | held    | incarnation | refutations | update  | result  |
      | ALIVE   | 5           | 2           | SUSPECT | SUSPECT |
      | ALIVE   | 5           | 1           | DEAD    | ALIVE   |
      | SUSPECT | 5           | 2           | ALIVE   | SUSPECT |
      | SUSPECT | 5           | 3           | ALIVE   | ALIVE   |
      | DEAD    | 5           | 2           | SUSPECT | DEAD    |
      | DEAD    | 5           | 3           | ALIVE   | ALIVE   |
      | DEAD    | 6           | 0           | ALIVE   | ALIVE   |
      | LEFT    | 5           | 9           | ALIVE   | LEFT    |
      | LEFT    | 6           | 0           | ALIVE   | ALIVE   |
      | ALIVE   | 4           | 9           | DEAD    | ALIVE   |
      | LEAVING | 5           | 2           | ALIVE   | LEAVING |

  Scenario: Forged and replayed membership messages change nothing
    Given a fleet of 10 nodes in 1 zones, seed 61, losing 0 % of datagrams
    When an attacker forges the death of every node and replays all datagrams of a leave
    Then no node ever regarded a running node as dead
    And the node that left stays absent

  Scenario: The machine list is a hint only
    Given a fleet of 6 nodes in 1 zones, seed 71, losing 0 % of datagrams
    When the machine list marks one node as leaving and omits another running node
    Then the marked node is regarded as leaving and the omitted node as alive

  Scenario: Tombstones are bounded in number and in time
    Given a membership state that keeps at most 50 dead members for 100 s
    When 200 members join and die
    Then 50 dead members are kept
    And no dead member is kept 101 s later

  Scenario Outline: A node that joins tries several seeds at once
    Given a joining node with <seeds> seeds
    Then the node tries <first> different seeds at once, again after 0.5 s, and one seed once it has joined

    Examples:
      | seeds | first |
      | 1     | 1     |
      | 2     | 2     |
      | 9     | 2     |

  Scenario: A later run of the same name supersedes the earlier run
    Given a fleet of 6 nodes in 1 zones, seed 81, losing 0 % of datagrams
    When a second node with a later incarnation starts under a running node's name elsewhere
    Then the earlier run notices that it is superseded
