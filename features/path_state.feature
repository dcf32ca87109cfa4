Feature: A node tells its lost paths from back ends that have ended

  Scenario Outline: All paths count as lost after several are, with no direct connection since
    When these happen in turn: <events>
    Then <which> paths count as lost

    Examples:
      | events                                  | which        |
      | a lost                                  | only a's     |
      | a lost, a lost                          | only a's     |
      | a lost, b lost                          | all          |
      | a lost, c connected, b lost             | only a's, b's |
      | a lost, b lost, c connected             | only a's, b's |
      | a lost, b lost, a connected             | only b's     |
      | a lost, a connected                     | no           |
      | a lost, b lost, a gone, b gone, c connected | no       |

  Scenario Outline: A lost path is checked soon, and later if it is lost again and again
    When a path is lost and regained <times> times, <apart_s> seconds apart, and lost once more
    Then it is checked after <first_s> seconds, and then each 0.5 seconds

    Examples:
      | times | apart_s | first_s |
      | 0     | 1       | 0.5     |
      | 1     | 1       | 1       |
      | 2     | 1       | 2       |
      | 5     | 1       | 4       |
      | 5     | 6       | 0.5     |

  Scenario: Idle connections of before a loss or a return are not used again
    When a path is lost and regained 1 times, 1 seconds apart, and lost once more
    Then the generation of its connections has changed 3 times, and that of others not

  Scenario: Another node's confirmation holds for a second, and not after a connection
    When another node confirms that a back end is unreachable
    Then that holds for 1 second, and not after a direct or relayed connection

  Scenario Outline: Relays that worked are kept, those that failed are tried last
    Given <num> relays in this region and 2 in another
    When <good> of them work and <bad> of them fail
    Then the first relay is mostly one of <first>

    Examples:
      | num | good | bad | first                       |
      | 6   | 0    | 0   | this region                 |
      | 6   | 3    | 0   | those that worked           |
      | 6   | 1    | 4   | those that did not fail     |
      | 2   | 0    | 2   | the other region            |
      | 6   | 2    | 4   | those that did not fail     |
