Feature: Whole fleets run in virtual time and their histories are checked
  Guards against a harness that misses the faults of a node or reports faults of its own, processes
  that run on after they were killed, and runs that differ with the same seed.

  Scenario Outline: The harness finds each fault of a faulty node
    Given a virtual fleet of scripted nodes that are "<behaviour>"
    When the scripted fleet runs the "yearbook" workload for 6 s
    Then the scripted fleet's violations are of rules "<rules>"
    And the scripted fleet's requests count "<counted>"

    Examples:
      | behaviour                         | rules                 | counted        |
      | sound                             | none                  | answered_once  |
      | swapping text between requests    | whole_own_answer      | crossed        |
      | ending streams early              | stream_whole_in_order | truncated      |
      | naming other requests             | whole_own_answer      | crossed        |
      | leaving out the end marker        | stream_whole_in_order | truncated      |
      | running after refusing as not run | not_run_is_true       | false_not_run  |
      | running changes twice             | at_most_once          | doubled        |
      | answering never                   | whole_own_answer      | lost           |
      | raising exceptions                | none                  | failed         |

  Scenario: A killed process stops, also in shielded scopes, and a paused one continues later
    Given a process whose task counts at its gate each second, shielded from cancellation
    When it is paused from 3.5 s to 6.5 s and killed at 9.2 s
    Then it has counted at "1 2 3 6.5 7.5 8.5" and never again by 20 s

  Scenario: A process that is killed while it drains ends only its drain
    Given a process whose drain passes its gate each second for 5 s
    When the drain starts at 1 s and it is killed at 2.5 s
    Then the drain has ended without an exception by 3.5 s

  Scenario Outline: The product's nodes keep every rule under each fault
    Given a virtual run of "<deployment>" with the fault "<fault>"
    When the product's nodes run it in virtual time with seed 5
    Then no rule is broken and most requests are answered once
    And the fault shows as "<trace>"

    Examples:
      | deployment | fault            | trace                      |
      | tsehay     | engine_crash     | a crash of an engine in use |
      | startgrid  | crossed_answers  | attempts after the first   |
      | startgrid  | planned_stop     | a node stopped and started |
      | tsehay     | racing_operators | files of both operators    |

  Scenario: The same seed gives the same history
    Given a virtual run of "tsehay" with the fault "herd_restart"
    When the product's nodes run it twice in virtual time with seed 5
    Then both virtual runs have the same records

  Scenario: A random schedule is determined by its seed and settles before the end
    When fault schedules of 40 s are drawn for seeds 1 to 50
    Then each is equal when drawn again, all kinds come up, and none has a fault after 28 s
