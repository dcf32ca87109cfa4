Feature: A back end that is registered and answers is used, whoever else is registered at its address

  # Two of nine engines got no request any more, and never the new weights, though they were registered
  # and idle; what they would have served went to the others for the rest of the day.
  # Order of events: two engines crashed and their registrations ended; started again, they registered
  # under new names at the same addresses; 0.1 s later the entries of the ended ones came once more,
  # and ended 4 s later.
  # Cause: who owns an address was decided by which entry came last; the other one was forgotten with
  # its key. The live one had nothing more to say, and nothing brought it back when the other ended.
  # Evidence: `back_end_displaced instance=(live) by=(ended)` at all seven nodes, then `back_end_gone`
  # of the ended one and no event of the live one; orders to the ended one came back `wrong_instance`
  # and nothing followed from it.
  Scenario: The entry of an ended run comes once more, and ends
    Given 3 nodes, and an address at which "B" runs
    When its registrations are "A+ A- B+ A+ A-"
    Then every node has its requests answered by "B"

  Scenario Outline: Whichever entries come and end, in whatever order
    Given 3 nodes, and an address at which "<living>" runs
    When its registrations are "<changes>"
    Then every node has its requests answered by "<living>"
    And at most 0 requests come to "<living>" that are meant for another run

    Examples: A, B, C started one after the other; + registers, ~ writes again, - ends
      | living | changes                       |
      | B      | A+ B+                         |
      | B      | A+ B+ A-                      |
      | B      | A+ B+ A~                      |
      | B      | A+ B+ A~ A-                   |
      | B      | A+ A- A+ B+ A-                |
      | B      | A+ A- B+ A+                   |
      | B      | A+ A- B+ A+ B~ A-             |
      | B      | B+ A+                         |
      | B      | B+ A+ A-                      |
      | B      | A+ B+ A- B~ A+ A-             |
      | B      | B+ B- B+ A+                   |
      | C      | A+ A- B+ B- C+ A+ B+ A- B-    |
      | C      | A+ B+ C+ B- A-                |
      | C      | C+ B+ A+ B- A-                |
      | C      | A+ B+ A- C+ A+ B~             |

  Scenario Outline: It is the same where registrations state no start
    Given 3 nodes, and an address at which "<living>" runs
    When its registrations are "<changes>", and state no start
    Then every node has its requests answered by "<living>"
    And at most <refused> requests come to "<living>" that are meant for another run

    Examples:
      | living | changes                    | refused |
      | B      | A+ A- B+ A+ A-             | 0       |
      | B      | A+ A- B+ A+                | 0       |
      | B      | A+ B+ A~                   | 0       |
      | B      | B+ A+                      | 3       |
      | C      | A+ A- B+ B- C+ A+ B+ A- B- | 0       |

  Scenario Outline: It is the same however the changes arrive
    Given 3 nodes, and an address at which "B" runs
    When its registrations are "<changes>", <how>
    Then every node has its requests answered by "B"

    Examples:
      | changes        | how                                 |
      | A+ A- B+ A+    | each read with everything else      |
      | A+ A- B+ A+ A- | each read with everything else      |
      | A+ A- B+ A+    | all during an outage of the store   |
      | A+ A- B+ A+ A- | all during an outage of the store   |
      | A+ A- B+ A+    | before a node starts                |
      | A+ A- B+ A+ A- | before a node starts                |
      | A+ B+ A-       | before a node starts                |

  Scenario: A node that starts after a late entry without a start learns from one refusal
    Given 3 nodes, and an address at which "B" runs
    When its registrations are "A+ A- B+ A+", and state no start, before a node starts
    Then every node has its requests answered by "B"
    And at most 3 requests come to "B" that are meant for another run

  Scenario: One node is refused by another run, and the others use that one as well
    Given 3 nodes, and an address at which "B" runs
    When its registrations are "B+ A+", and state no start, and node-1 is asked first
    Then every node has its requests answered by "B"
    And at most 1 requests come to "B" that are meant for another run

  Scenario: An answer of a run that was displaced brings it back
    Given 3 nodes, and an address at which "A" runs
    When "B" registers there, without a start, while "A" is at work on a request
    Then every node has its requests answered by "A"
    And at most 0 requests come to "A" that are meant for another run

  Scenario: A run that was seen to crash gives way to one whose clock is behind
    Given 3 nodes, and an address at which "A" runs
    When "C" crashes there under a request, and "A" registers
    Then no node doubts "A"
    And every node has its requests answered by "A"
    And at most 0 requests come to "A" that are meant for another run

  Scenario: An order that another run refuses tells who is there
    Given 3 nodes before an engine "B" at an address where "A" registers late
    When new weights are named
    Then "B" has the new weights within 8 seconds

  Scenario: What a node kept of a displaced back end goes with it
    Given a registry in which "A" is registered, and then "B" at its address
    Then "A" was told as gone once, and "B" is used
    When the registration of "B" ends
    Then "B" was told as gone once, and "A" is used
    When the registration of "A" ends
    Then "A" was told as gone twice, and nobody is used

  Scenario: A run in whose place another one answered gives way, and is not restored
    Given a registry in which "A" is registered, and then "B" at its address
    When another run than "B" answers there
    Then "B" was told as gone once, and "A" is used
    When the registration of "A" ends
    Then "A" was told as gone twice, and nobody is used

  Scenario Outline: What was said of one address or one run says nothing of another
    Given a registry in which "A" is registered <start>
    When another run than "A" answers there
    Then nobody is used
    When "A" registers again, <how>
    Then "<used>" is used there

    Examples:
      | start                | how                          | used   |
      | with its start       | as before                    | nobody |
      | with its start       | at another address           | A      |
      | with its start       | with a later start           | A      |
      | with its start       | with an earlier start        | nobody |
      | and states no start  | as before                    | A      |

  Scenario: What was answered before a later run came proves nothing against it
    Given a registry in which "A" is registered, and then "B" at its address
    When "A" has answered since
    And then "C" registers there
    Then "A" was told as gone twice, and "C" is used

  Scenario: Whoever is registered and answers is used, and who is gone never is
    Given any sequence of starts, crashes, late entries, ends and requests at two addresses
    Then each process that is registered is used after as many requests as runs are registered
    And no run without a registration is used at any time
