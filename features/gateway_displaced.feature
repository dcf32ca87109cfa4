Feature: A registered back end that answers is used, whichever other runs are registered at its address

  # Guards against a live back end that is not used. Two of nine engines got no requests and no new
  # weights although they were registered and idle; the other engines served their share for the rest of
  # the day.
  # How it comes about: two engines crash and their registrations end. They start again and register
  # under new names at the same addresses. 0.1 s later the registrations of the ended runs are written
  # once more, and end 4 s later.
  # Cause: the last written registration decided who owned an address, and the other one was forgotten
  # together with its key. The live run did not register again, and nothing restored it when the other
  # registration ended.
  # The logs showed `back_end_displaced instance=(live) by=(ended)` at all seven nodes, then
  # `back_end_gone` of the ended run and no event of the live one. Orders to the ended run were answered
  # with `wrong_instance`, which had no effect.
  Scenario: The registration of an ended run is written once more, and ends
    Given 3 nodes, and an address at which "B" runs
    When the registrations there change as "A+ A- B+ A+ A-"
    Then all requests of every node are answered by "B"

  Scenario Outline: Registrations are written and end in any order
    Given 3 nodes, and an address at which "<living>" runs
    When the registrations there change as "<changes>"
    Then all requests of every node are answered by "<living>"
    And at most 0 requests that are meant for another run reach "<living>"

    Examples: runs A, B and C started in this order; + registers, ~ writes the registration again, - ends it
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

  Scenario Outline: The live run is also used if registrations state no start time
    Given 3 nodes, and an address at which "<living>" runs
    When the registrations there change as "<changes>", without start times
    Then all requests of every node are answered by "<living>"
    And at most <refused> requests that are meant for another run reach "<living>"

    Examples:
      | living | changes                    | refused |
      | B      | A+ A- B+ A+ A-             | 0       |
      | B      | A+ A- B+ A+                | 0       |
      | B      | A+ B+ A~                   | 0       |
      | B      | B+ A+                      | 3       |
      | C      | A+ A- B+ B- C+ A+ B+ A- B- | 0       |

  Scenario Outline: The live run is also used however the changes arrive
    Given 3 nodes, and an address at which "B" runs
    When the registrations there change as "<changes>", <how>
    Then all requests of every node are answered by "B"

    Examples:
      | changes        | how                          |
      | A+ A- B+ A+    | each followed by a full read |
      | A+ A- B+ A+ A- | each followed by a full read |
      | A+ A- B+ A+    | all during a store outage    |
      | A+ A- B+ A+ A- | all during a store outage    |
      | A+ A- B+ A+    | before a node starts         |
      | A+ A- B+ A+ A- | before a node starts         |
      | A+ B+ A-       | before a node starts         |

  Scenario: A node that starts after a late registration without a start time needs only one refusal
    Given 3 nodes, and an address at which "B" runs
    When the registrations there change as "A+ A- B+ A+", without start times, before a node starts
    Then all requests of every node are answered by "B"
    And at most 3 requests that are meant for another run reach "B"

  Scenario: When one node is refused by another run, the other nodes use that run as well
    Given 3 nodes, and an address at which "B" runs
    When the registrations there change as "B+ A+", without start times, and node-1 gets the first request
    Then all requests of every node are answered by "B"
    And at most 1 requests that are meant for another run reach "B"

  Scenario: An answer of a displaced run restores it
    Given 3 nodes, and an address at which "A" runs
    When "B" registers there without a start time while "A" is serving a request
    Then all requests of every node are answered by "A"
    And at most 0 requests that are meant for another run reach "A"

  Scenario: A run that was seen to crash is replaced by a run whose clock is behind
    Given 3 nodes, and an address at which "A" runs
    When "C" crashes there while serving a request, and "A" registers
    Then no node doubts the registration of "A"
    And all requests of every node are answered by "A"
    And at most 0 requests that are meant for another run reach "A"

  Scenario: An order that another run refuses reveals the run at the address
    Given 3 nodes and an engine "B" at an address where "A" registers late
    When new target weights are set
    Then "B" has the new weights within 8 seconds

  Scenario: A displaced back end is reported as removed
    Given a registry in which "A" is registered, and then "B" at its address
    Then "A" was reported as removed once, and "B" is used
    When the registration of "B" ends
    Then "B" was reported as removed once, and "A" is used
    When the registration of "A" ends
    Then "A" was reported as removed twice, and no back end is used

  Scenario: A run at whose address another run answered is replaced, and is not restored
    Given a registry in which "A" is registered, and then "B" at its address
    When another run than "B" answers there
    Then "B" was reported as removed once, and "A" is used
    When the registration of "A" ends
    Then "A" was reported as removed twice, and no back end is used

  Scenario Outline: Evidence about one address or one run does not count for another
    Given a registry in which "A" is registered <start>
    When another run than "A" answers there
    Then no back end is used
    When "A" registers again, <how>
    Then "<used>" is used there

    Examples:
      | start                | how                        | used |
      | with its start time  | as before                  | none |
      | with its start time  | at another address         | A    |
      | with its start time  | with a later start time    | A    |
      | with its start time  | with an earlier start time | none |
      | without a start time | as before                  | A    |

  Scenario: An answer from before a later run registered is no evidence against that run
    Given a registry in which "A" is registered, and then "B" at its address
    When "A" answers afterwards
    And "C" registers there later
    Then "A" was reported as removed twice, and "C" is used

  Scenario: A registered run that answers is used, and a run without a registration never is
    Given any sequence of starts, crashes, late registrations, ended registrations and requests at two addresses
    Then each registered process is used after as many requests as there are registered runs
    And no run without a registration is used at any time

  Scenario: What a run answered before another registered at its address does not count against that one
    Given a run that has answered at an address where another one was registered
    When a third run registers there
    Then the third run owns the address, and the first again once it answers
