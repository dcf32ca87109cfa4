Feature: A store that comes back from a copy loses its own last seconds, and the nodes lose nothing

  # What callers saw: after the store had come back from a copy, a changed configuration, back ends that
  # started and keys that were taken away were in force nowhere, for as long as the store had not made as
  # many changes as it had lost; the nodes took themselves for current all the while.
  # Cause: a change counted only if its revision was above the last one known, and a reading with a lower
  # revision than the known one was thrown away as an old one. Revisions are given out again after a
  # copy; what orders them is the number of times that the store has come back, and then the revision.
  # Evidence: no `configuration_taken` after the copy, though `store_regained` and proofs go on.
  Scenario Outline: Changes after the copy are in force as ever
    Given 3 nodes before a store of which a copy was taken
    When <lost> changes later the store comes back from the copy
    And <later> changes later the operator writes configuration 9
    Then each node has configuration 9 within 2 seconds of that

    Examples:
      | lost | later |
      | 5    | 0     |
      | 5    | 3     |
      | 5    | 20    |
      | 0    | 0     |

  Scenario: Two copies within seconds
    Given 3 nodes before a store of which a copy was taken
    When 5 changes later the store comes back from the copy
    And 1 second later it comes back from the copy once more
    And 0 changes later the operator writes configuration 9
    Then each node has configuration 9 within 2 seconds of that

  Scenario: What was in force stays in force until it is written again
    Given 3 nodes before a store of which a copy was taken
    When the operator writes configuration 5, in which a key is taken away, and the store comes back from the copy
    And callers ask with that key for 6 seconds
    Then none of them is served
    And each node has configuration 5

  Scenario: A back end that registered after the copy is used on, and registers again
    Given 3 nodes before a store of which a copy was taken
    When "lm-9" registers, and the store comes back from the copy
    And it registers again 1.5 seconds after that
    Then at no moment a node has no back end, and each has "lm-9" to the end

  Scenario: A back end that registered after the copy and is gone is forgotten
    Given 3 nodes before a store of which a copy was taken
    When "lm-9" registers, and the store comes back from the copy
    And callers ask for 4 seconds
    Then no node has "lm-9" 2.5 seconds after the copy

  Scenario: A back end that had said that it leaves is not used again, though the copy has it as ready
    Given 3 nodes before a store of which a copy was taken
    When "lm-1" registers as leaving, and the store comes back from the copy
    And callers ask for 4 seconds
    Then "lm-1" gets no request after the copy

  Scenario: No node takes itself for the only one
    Given 3 nodes before a store of which a copy was taken
    When the nodes register after the copy, and the store comes back from the copy
    And callers ask for 8 seconds
    Then each node knows 3 nodes all the while
    And each node has registered again

  Scenario: What was lost counts on also where everything is read again
    Given 3 nodes before a store of which a copy was taken
    When the nodes register after the copy, and the store comes back from the copy
    And the store forgets its history 0.2 and 0.5 seconds later
    And callers ask for 8 seconds
    Then each node knows 3 nodes all the while

  Scenario: Orders go on with higher fencing tokens, and not before the last ones are settled
    Given 3 nodes before a store of which a copy was taken
    When weights 2 are named and ordered, and the store comes back from the copy
    And weights 3 are named at once
    Then all engines have weights 3 within 15 seconds
    And no order has a lower fencing token than the one before it
    And no two nodes order within 3 seconds

  Scenario: A node that starts right after the copy orders nothing before the last orders are settled
    Given 3 nodes before a store of which a copy was taken
    When weights 2 are named and ordered, and the store comes back from the copy
    And all other nodes are cut off from it, a node starts, and weights 3 are named at once
    Then no two nodes order within 3 seconds

  Scenario: Whatever the copy lacks, nobody may order before the last orders are settled
    Given 3 nodes before a store of which a copy was taken
    When 5 changes later the store comes back from the copy
    And a node asks all the while whether it may order
    Then it may from 5.5 to 7.5 seconds after the copy on, and others that ask then at once

  Scenario: A node that starts later orders as soon as ever
    Given 3 nodes before a store of which a copy was taken
    When weights 2 are named and ordered, and the store comes back from the copy
    And weights 3 are named at once
    And all other nodes are killed, a node starts, and weights 4 are named at once
    Then the first order of weights 4 comes within 5.5 seconds of that
    And no order has a lower fencing token than the one before it

  Scenario Outline: An order to move traffic that the store lost counts on for a while
    Given a node that knows an order to move traffic to "v2"
    When the store comes back from a copy without it
    And <later_s> seconds later <what>
    Then the order to move traffic <stands>

    Examples:
      | later_s | what                | stands         |
      | 5       | nothing has come    | still stands   |
      | 6.1     | nothing has come    | is withdrawn   |
      | 3       | everything is read again | still stands |
      | 6.1     | everything is read again | is withdrawn |
      | 3       | it is written again | still stands   |
      | 7       | it is written again | stands again   |

  Scenario Outline: A record of the nodes that the store lost counts on for a while
    Given a node that knows a record of the nodes
    When the store comes back from a copy without it
    And <later_s> seconds later <what>
    Then the record <stands>

    Examples:
      | later_s | what                     | stands       |
      | 5       | nothing has come         | still stands |
      | 3       | everything is read again | still stands |
      | 6.1     | everything is read again | is gone      |

  Scenario: A request in quarantine stays there, and its record is written again
    Given 3 nodes before a store of which a copy was taken
    When a request is quarantined, and the store comes back from the copy
    And callers ask for 8 seconds
    Then that request is refused all the while
    And one record of it is in the store

  Scenario: Each node tells of the copy once
    Given 3 nodes before a store of which a copy was taken
    When 5 changes later the store comes back from the copy
    And callers ask for 4 seconds
    Then each node logs once that the store came back from a copy

  Scenario Outline: A late answer from before the copy changes nothing
    Given a client of a store of which a copy was taken
    When a <call> is asked, the store comes back from the copy, a reading tells of it, and the <call> is answered
    Then the client takes the <call> for unanswered

    Examples:
      | call     |
      | reading  |
      | revision |
      | change   |

  Scenario Outline: What rests on a revision of before the copy does not hold by chance
    Given a client of a store of which a copy was taken
    When a key is written, the store comes back from the copy, and the key has the same revision again
    And <seen> the client <does>
    Then <outcome>
    And where it had seen the copy, it knows at once and changes nothing in the store

    Examples:
      | seen                          | does                            | outcome                          |
      | having seen the copy,         | changes the key by its revision | the key is as it was             |
      | without having seen the copy, | changes the key by its revision | the change is taken for unsure   |
      | having seen the copy,         | watches from its revision       | it is told to read everything    |
      | without having seen the copy, | watches from its revision       | it is told to read everything    |
      | having seen the copy,         | renews its lease                | its lease is lost                |
      | without having seen the copy, | renews its lease                | its lease is lost                |

  Scenario Outline: How the number of the copy is written
    Given a client of a store of which a copy was taken
    When its answers name the copy as "<era>"
    Then the client <takes>

    Examples:
      | era     | takes                            |
      | nothing | takes revision 7 as it is        |
      | 0       | takes revision 7 as it is        |
      | 1       | takes revision 7 for a later one |
      | -1      | takes the answer for unreadable  |
      | new     | takes the answer for unreadable  |
      | 1e3     | takes the answer for unreadable  |
