Feature: The soak test of node processes under faults: schedule, history and rules

  The soak test runs the real program under random faults, and checks its history against rules. A rule
  that overlooks a violation hides faults of the product; a rule that reports allowed behaviour fails at
  random on a slow machine. Hence each rule is checked with synthetic histories that violate it, and with
  histories that just obey it.

  Scenario Outline: A history that violates a rule is reported for that rule only
    When a valid soak history is changed by <change>
    Then only the rule "<rule>" is violated

    Examples: Answers
      | change                                          | rule              |
      | an unsigned success                             | whole_own_answers |
      | the signature of a back end that did not run it | whole_own_answers |
      | a truncated body                                | whole_own_answers |
      | an answer that names another request            | whole_own_answers |
      | a success that no back end ran                  | whole_own_answers |

    Examples: Repeats and refusals
      | change                                  | rule                |
      | two runs of a request that may run once | runs_at_most_once   |
      | two runs of a stream                    | runs_at_most_once   |
      | a refusal of a request that had run     | refused_did_not_run |
      | a refusal of a request that runs later  | refused_did_not_run |

    Examples: Streams
      | change                                | rule            |
      | a stream with a missing event         | events_in_order |
      | a stream with a duplicate event       | events_in_order |
      | a stream that ends normally too early | events_in_order |
      | a stream with another request's event | events_in_order |
      | events of two runs in one stream      | events_in_order |
      | a stream of two versions in one answer | streams_have_one_version |
      | a stream that another version continues at another node | streams_have_one_version |
      | streams taken up that are refused | taken_up_streams_go_on |

    Examples: Ends of answers
      | change                                                           | rule                     |
      | a whole unframed answer that is cut                              | whole_answers_stay_whole |
      | a whole unframed answer that becomes a failure                   | whole_answers_stay_whole |
      | a whole unframed answer that is cut after another back end ended | whole_answers_stay_whole |
      | a whole unframed answer that is cut long after the soak test was late | whole_answers_stay_whole |

    Examples: Stops
      | change                                                | rule              |
      | a stop that cuts off a run                            | stop_cuts_nothing |
      | a stop that cuts off a request that the node has held | stop_cuts_nothing |
      | a stop after which a back end breaks off its answer   | stop_cuts_nothing |
      | a stop that needs SIGKILL                             | stop_ends_in_time |
      | a stop with a failing exit code                       | stop_ends_in_time |

    Examples: Requests that run
      | change                                 | rule           |
      | a run of a request that no caller sent | only_sent_runs |
      | a run before its request               | only_sent_runs |
      | a run with another body                | only_sent_runs |
      | a run with another query               | only_sent_runs |
      | a run with the caller's key            | only_sent_runs |
      | a run for another tenant               | only_sent_runs |

    Examples: Configurations and weights
      | change                                                         | rule                        |
      | an older configuration after a newer one                       | configuration_never_reverts |
      | a removed route that still works                               | configuration_in_time       |
      | a new route that is unknown                                    | configuration_in_time       |
      | a removed key                                                  | removed_keys_do_not_run     |
      | a removed key at a node that was paused                        | removed_keys_do_not_run     |
      | a run on old weights                                           | weights_in_time             |
      | a run on old weights after newer ones were named twice         | weights_in_time             |
      | a run on old weights long after the store was down             | weights_in_time             |
      | a run on old weights after a pause                             | weights_in_time             |
      | a run on old weights at a node while another has no paths      | weights_in_time             |
      | a run on old weights after connections to the store were reset | weights_in_time             |
      | a run on old weights after a short delay of the soak test      | weights_in_time             |

    Examples: Orders and processes
      | change                                            | rule                 |
      | two lease holders with the same fencing token     | one_holder_of_orders |
      | a process that ends unexpectedly                  | nodes_stay_up        |
      | a process that SIGHUP ends after it listened      | nodes_stay_up        |
      | a process that SIGHUP ends just after it listened | nodes_stay_up        |
      | an unexpected error in a log                      | nodes_stay_up        |
      | a node that never serves again                    | serves_again         |

    Examples: Statements of back ends
      | change                                                                   | rule                 |
      | a run at a back end that announced its draining                          | leaving_gets_nothing |
      | a run at a back end that announced its draining while the store was down | leaving_gets_nothing |
      | three requests during a rest                                             | rest_is_kept         |
      | more requests than a limit allows                                        | limits_are_kept      |
      | three brittle back ends that end                                         | brittle_back_ends_stand |

    Examples: Blocks and new connections
      | change                                                      | rule                |
      | four late runs with a fatal block                           | fatal_blocks_stop   |
      | sound streams that are refused while a fatal block is known | sound_blocks_go_on  |
      | a node with all new connections that refuses most requests  | favored_node_serves |

    Examples: Paths
      | change                                          | rule                  |
      | a node without paths that refuses most requests | lost_paths_are_served |

  Scenario: A stop that ends with SIGKILL and cuts off a new request violates two rules
    When a valid soak history is changed by a stop that ends with SIGKILL and cuts off a new run
    Then only the rules "stop_cuts_nothing" and "stop_ends_in_time" are violated

  Scenario Outline: Allowed behaviour violates no rule
    When a valid soak history is changed by <change>
    Then no rule is violated

    Examples:
      | change                                                                         |
      | a node without paths that answers two thirds of its requests |
      | a node without paths that refuses ten requests |
      | a node that refuses most requests just after its paths were lost |
      | three late runs with a fatal block |
      | four late runs with a fatal block after four crashes |
      | a third of the sound streams that are refused while a fatal block is known |
      | a node with all new connections that answers three quarters |
      | a node with all new connections that closes most unread |
      | two brittle back ends that end |
      | a run on old weights that a lost path held up |
      | nodes that refuse most requests while none has paths |
      | a node without paths that refuses most requests while the only other one stops |
      | brittle back ends that end just after they first said so |
      | nothing                                                                        |
      | an error of the node itself                                                    |
      | two runs of a repeatable request                                               |
      | a refusal of a request that never runs                                         |
      | a refusal of a repeatable request that had run                                 |
      | a stream that breaks off                                                       |
      | a resumed stream of two runs                                                   |
      | a stream that its version continues at another node |
      | eleven streams taken up that are refused |
      | a whole answer in chunks that is cut                                           |
      | a whole unframed answer that is cut as its back end ends                       |
      | a whole unframed answer that is cut at a paused node                           |
      | a whole unframed answer that is cut at its deadline                            |
      | a whole unframed answer that is cut while its back end rests                   |
      | a whole unframed answer that is cut while the soak test was late               |
      | a stop that crosses a request on the connection                                |
      | a stop with a back end that broke off its answer before                        |
      | a stop of a paused node that cuts off a run                                    |
      | a node that is killed during a run                                             |
      | a stop while the soak test was delayed                                         |
      | a stop of a slow node                                                          |
      | a stop before any request of the process ran                                   |
      | an older configuration concurrent with a newer one                             |
      | an older configuration at a restarted node                                     |
      | a removed route that works for a moment                                        |
      | a new route that is unknown for a moment                                       |
      | a new route that is unknown at a paused node                                   |
      | a new route that is unknown while the store is down                            |
      | a new route that is unknown at a slow node                                     |
      | a key that has just been removed                                               |
      | a run on old weights just after newer ones were named                          |
      | a run on old weights after the store was down                                  |
      | a run on old weights just after a pause                                        |
      | a run on old weights after a long delay of the soak test                       |
      | two lease holders with successive fencing tokens                               |
      | a process that is killed                                                       |
      | a node that serves nothing while the soak test is delayed                      |
      | a process that SIGHUP ends before it listens                                   |
      | a run at a back end that has just announced its draining                       |
      | a run from another node at a draining back end                                 |
      | a run at a draining back end after a pause of the node                         |
      | two requests during a rest                                                     |
      | three requests just after a rest was asked for                                 |
      | three requests during a rest after a restart of the node                       |
      | as many requests as a limit allows                                             |
      | more requests than a limit allows just after its first statement               |
      | more requests than a limit allows after it has ended                           |
      | more requests than a limit allows from a node that the limit was not stated to |
      | more requests than a limit allows after a pause of the node                    |

  Scenario Outline: Events are parsed strictly, so that incomplete or merged events are noticed
    Then a stream with the outcome <outcome> and the body "<body>" has the event numbers "<events>"

    Examples:
      | outcome  | body                                   | events |
      | answered | id: 1;data: q i;;id: 2;data: q i;;     | 1, 2   |
      | answered | X-Weight-Versions: 3;id: 1;data: q i;; | 1      |
      | answered | id: 1;datid: 1;data: q i;;             | -1     |
      | answered | id: 1;data: q i;;id: 2;da              | 1, -1  |
      | broken   | id: 1;data: q i;;id: 2;da              | 1      |
      | answered | id: 1;id: 1;data: q i;;                | -1     |
      | answered | data: q i;;                            | -1     |
      | answered | id: x;data: q i;;                      | -1     |
      | answered | id: 1;data: q i;;;;                    | 1, -1  |

  Scenario: A stored history is judged the same way again
    When a valid soak history is changed by a run on old weights
    And the history is written to a file and read again
    Then only the rule "weights_in_time" is violated

  Scenario: Each traceback in a node's log counts as one internal error
    When a node's log contains the tracebacks "plain, grouped, none"
    Then the internal errors are "ValueError: bad number; TypeError: Missing required argument"

  Scenario: Each request that an internal error ended counts as one internal error
    When a node's log contains the tracebacks "request"
    Then the internal errors are "ValueError while a request ran"

  Scenario: A seed determines the schedule
    Then two schedules of seed 7 are equal, and differ from that of seed 8
    And eight schedules of an hour contain every kind of fault, and no fault lasts beyond the hour

  Scenario: With the checkout of another release, each start of a node switches the release
    Given a soak test with the other checkout "older"
    Then the starts of node 0 use the checkouts "this build, older, this build"
    And the starts of node 1 use the checkouts "older, this build, older"

  Scenario: A short soak test with a fixed seed violates no rule
    When a soak test of node processes runs for 20 s with seed 5
    Then the soak test reports no violations
    And callers were answered, nodes were stopped and configurations followed one another
    And none of its processes is still running
