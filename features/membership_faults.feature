Feature: Membership of nodes under faults

  Scenario Outline: All live nodes agree on a change in time
    Given a fleet of <nodes> nodes in <zones> zones, seed <seed>, losing <loss> % of datagrams
    When <event> happens to it
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
      | 24    | 3     | 11   | 0    | a herd replacing half at once  | 10    |

  Scenario Outline: Poor links and pauses bury nobody that runs
    Given a fleet of 18 nodes in 2 zones, seed <seed>, losing <loss> % of datagrams
    When it runs for 30 s under <fault>
    Then no node has ever held a running node dead

    Examples:
      | seed | loss | fault                                 |
      | 21   | 0    | no fault                              |
      | 22   | 10   | no fault                              |
      | 23   | 2    | pauses of 1 s of random nodes         |
      | 24   | 0    | a one-way cut from one node to another |
      | 25   | 0    | a one-way cut from a node to a third of the nodes |

  Scenario Outline: A paused node wakes without accusing the others
    Given a fleet of 12 nodes in 3 zones, seed <seed>, losing 0 % of datagrams
    When one node is frozen for <pause> s and wakes
    Then the others never held one another dead
    And the woken node never held another node dead
    And all live nodes agree within 10 s

    Examples:
      | seed | pause |
      | 31   | 2     |
      | 32   | 10    |
      | 33   | 60    |

  Scenario: A late tick concludes nothing from acks and refutations that were not heard
    Given a node with a probe in flight and a suspicion of another member
    When its next tick comes 60 s late
    Then the probed member is not suspected and the suspect is not dead
    And the suspect is dead when no refutation comes in the time of a suspicion

  Scenario Outline: Views merge after a cut heals
    Given a fleet of 16 nodes in 4 zones, seed <seed>, losing 0 % of datagrams
    When <cut> lasts <length> s and heals
    Then each side held the other dead when the cut <outcome>
    And all live nodes agree within 20 s

    Examples:
      | seed | cut                                     | length | outcome     |
      | 41   | a cut between halves                    | 30     | was long    |
      | 42   | a cut of one zone                       | 30     | was long    |
      | 44   | a cut between halves without seeds      | 30     | was long    |
      | 43   | a cut between halves                    | 1      | was short   |

  Scenario: A leaving node is seen as leaving, then gone, and never comes back by old news
    Given a fleet of 10 nodes in 2 zones, seed 51, losing 0 % of datagrams
    When a node announces that it leaves
    Then all other nodes hold it leaving within 2 s
    When it departs and an old ALIVE claim about it is gossiped
    Then no node holds it live

  Scenario Outline: A claim is taken only when it is stronger
    Given a membership state that holds member "m" at incarnation 5, refutations 2, state <held>
    When a claim arrives with incarnation <incarnation>, refutations <refutations>, state <claim>
    Then the member is held at state <then>

    Examples:
      | held    | incarnation | refutations | claim   | then    |
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
    When a stranger forges the death of every node and replays all that was sent during a leave
    Then no node has ever held a running node dead
    And the node that left stays gone

  Scenario: The machine list is a hint only
    Given a fleet of 6 nodes in 1 zones, seed 71, losing 0 % of datagrams
    When the machine list marks one node as leaving and omits another that runs
    Then the marked node is held leaving and the omitted one stays alive

  Scenario: Tombstones are bounded in number and in time
    Given a membership state that keeps at most 50 dead members for 100 s
    When 200 members are born and die
    Then 50 dead members are remembered
    And none is remembered 101 s later

  Scenario Outline: A node that joins tries several seeds at once
    Given a node that joins by <seeds> seeds
    Then it tries <first> different seeds at once, again after 0.5 s, and one after it has joined

    Examples:
      | seeds | first |
      | 1     | 1     |
      | 2     | 2     |
      | 9     | 2     |

  Scenario: A later run of the same name supersedes this one
    Given a fleet of 6 nodes in 1 zones, seed 81, losing 0 % of datagrams
    When a second node with a later incarnation starts under a running node's name elsewhere
    Then the earlier run notices that it is superseded
