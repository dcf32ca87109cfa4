Feature: Recorded histories are checked against the rules that must always hold
  Guards against checkers that miss a violation or report one where a fault excuses the node. Each
  violating history differs from a correct one in one point.

  Scenario Outline: Each history violates exactly the expected rule, or none
    Given the recorded history "<history>"
    When every rule is checked on the recorded history
    Then the violated rules are exactly "<broken>"

    Examples:
      | history                                                       | broken                    |
      | a plain answered run                                          | none                      |
      | cached prefix of the same engine run                          | none                      |
      | cached prefix of an ended engine run                          | cache_is_own              |
      | cached prefix of another engine                               | cache_is_own              |
      | cached prefix of another tenant                               | cache_is_own              |
      | cached prefix of older weights                                | cache_is_own              |
      | cached prefix of another adapter                              | cache_is_own              |
      | run with the salt of another tenant                           | cache_is_own              |
      | cached prefix imported from the kept store                    | none                      |
      | imported prefix of older weights                              | cache_is_own              |
      | chunk repeated                                                | stream_whole_in_order     |
      | chunks swapped                                                | stream_whole_in_order     |
      | chunk after the end                                           | stream_whole_in_order     |
      | normal end without finish reason                              | stream_whole_in_order     |
      | normal end before the whole answer                            | stream_whole_in_order     |
      | explicit error before the whole answer                        | none                      |
      | chunk of another request                                      | whole_own_answer          |
      | text of another request                                       | whole_own_answer          |
      | service answer of another request                             | whole_own_answer          |
      | server error without the request's marker                     | none                      |
      | no ending                                                     | whole_own_answer          |
      | ending long after the deadline                                | whole_own_answer          |
      | ending late from a node paused over the deadline              | none                      |
      | ending late from a node paused before it took the request     | none                      |
      | ending too late even after the resume                         | whole_own_answer          |
      | ending late from a node paused long before                    | whole_own_answer          |
      | two endings                                                   | whole_own_answer          |
      | caller disconnected                                           | none                      |
      | refused as not run and never run                              | none                      |
      | refused as not run after a run                                | not_run_is_true           |
      | refused as not run before a run                               | not_run_is_true           |
      | refused as unknown and run                                    | none                      |
      | order repeated with its key and run once                      | none                      |
      | order repeated with its key and run twice                     | at_most_once              |
      | order without key run twice                                   | at_most_once              |
      | same key of two tenants                                       | none                      |
      | status read run twice                                         | none                      |
      | restarted node answers                                        | none                      |
      | restarted node has no configuration                           | serves_after_restart      |
      | restarted node cut off has no configuration                   | none                      |
      | node restarted alone with the store down                      | none                      |
      | node restarted beside others with the store down              | serves_after_restart      |
      | node restarted beside another that lost its configuration too | none                      |
      | node restarted alone after the store came back                | serves_after_restart      |
      | restarted node refuses the connection                         | serves_after_restart      |
      | restarted node reports no back end                            | serves_after_restart      |
      | every node reports no back end                                | none                      |
      | down node refuses the connection                              | none                      |
      | leaving back end gets work at once                            | none                      |
      | leaving back end gets work late                               | leaving_gets_no_work      |
      | crashed back end that leaves gets work late                   | leaving_gets_no_work      |
      | leaving back end gets work from a node just resumed           | none                      |
      | leaving back end gets work from a node cut off                | none                      |
      | leaving back end gets work from a node long resumed           | leaving_gets_no_work      |
      | returned back end gets work                                   | none                      |
      | planned stop finishes a stream                                | none                      |
      | planned stop cuts a stream                                    | planned_stop_cuts_nothing |
      | crash cuts a stream                                           | none                      |
      | crash during a planned stop cuts a stream                     | none                      |
      | planned stop cuts a stream before a crash                     | planned_stop_cuts_nothing |
      | configuration taken in time                                   | none                      |
      | configuration taken late                                      | configuration_in_force    |
      | configuration never taken                                     | configuration_in_force    |
      | configuration reverted                                        | configuration_in_force    |
      | configuration of a restarted node too old                     | configuration_in_force    |
      | configuration late behind a cut                               | none                      |
      | configuration late after a cut                                | configuration_in_force    |
      | orders in order of their tokens                               | none                      |
      | order of a lapsed lease                                       | fenced_orders             |

  Scenario Outline: Each request is counted once by its outcome
    Given the recorded history "<history>"
    When the requests of the recorded history are counted
    Then the history counts are "<counts>"

    Examples:
      | history                                   | counts                                                   |
      | a plain answered run                      | sent=2 answered_once=2                                   |
      | normal end before the whole answer        | sent=2 answered_once=1 truncated=1                       |
      | explicit error before the whole answer    | sent=2 answered_once=1 failed=1                          |
      | text of another request                   | sent=2 answered_once=1 crossed=1                         |
      | service answer of another request         | sent=2 answered_once=1 crossed=1                         |
      | no ending                                 | sent=2 answered_once=1 lost=1                            |
      | caller disconnected                       | sent=2 answered_once=1 left=1                            |
      | refused as not run and never run          | sent=2 answered_once=1 refused_not_run=1                 |
      | refused as not run after a run            | sent=2 answered_once=1 refused_not_run=1 false_not_run=1 |
      | order repeated with its key and run twice | sent=3 answered_once=3 doubled=1                         |
      | crash cuts a stream                       | sent=2 answered_once=1 failed=1                          |
      | order repeated with its key and refused as a duplicate | sent=3 answered_once=2 refused_repeats=1 |
      | order repeated with its key and refused although nothing was answered | sent=3 answered_once=1 failed=2 |
      | order of another tenant refused as a duplicate | sent=3 answered_once=2 failed=1 |
      | order repeated with its key and failed otherwise | sent=3 answered_once=2 failed=1 |
