Feature: The soak of node processes under faults: schedule, history and rules

  Scenario Outline: Each rule is found broken by a history that breaks it
    When a sound history of a soak also has <what>
    Then the soak finds "<rule>" broken, and nothing else

    Examples: Answers
      | what                                            | rule              |
      | an unsigned success                             | whole_own_answers |
      | the signature of a back end that did not run it | whole_own_answers |
      | a body that lacks its end                       | whole_own_answers |
      | an answer that names another request            | whole_own_answers |
      | a success that nobody ran                       | whole_own_answers |

    Examples: Repeats and refusals
      | what                                    | rule                |
      | two runs of a request that may run once | runs_at_most_once   |
      | two runs of a stream                    | runs_at_most_once   |
      | a refusal of what had run               | refused_did_not_run |
      | a refusal of what runs later            | refused_did_not_run |

    Examples: Streams
      | what                                  | rule            |
      | a stream that lacks an event          | events_in_order |
      | a stream with an event twice          | events_in_order |
      | a stream that looks whole too early   | events_in_order |
      | a stream with another request's event | events_in_order |
      | pieces of two runs in one stream      | events_in_order |

    Examples: Stops
      | what                                     | rule              |
      | a stop that cuts a run                   | stop_cuts_nothing |
      | a stop that cuts a request it has held   | stop_cuts_nothing |
      | a stop after which a back end breaks off | stop_cuts_nothing |
      | a stop that needs SIGKILL                | stop_ends_in_time |
      | a stop with a failing exit code          | stop_ends_in_time |

    Examples: What runs
      | what                        | rule           |
      | a run that nobody sent      | only_sent_runs |
      | a run before its request    | only_sent_runs |
      | a run with another body     | only_sent_runs |
      | a run with another query    | only_sent_runs |
      | a run with the caller's key | only_sent_runs |
      | a run for another tenant    | only_sent_runs |

    Examples: Configurations and weights
      | what                                                           | rule                        |
      | an older configuration after a newer one                       | configuration_never_reverts |
      | a dropped route that still works                               | configuration_in_time       |
      | a new route that is unknown                                    | configuration_in_time       |
      | a removed key                                                  | removed_keys_do_not_run     |
      | a removed key at a node that was paused                        | removed_keys_do_not_run     |
      | a run on old weights                                           | weights_in_time             |
      | a run on old weights, newer ones named twice                   | weights_in_time             |
      | a run on old weights long after the store was down             | weights_in_time             |
      | a run on old weights after a pause                             | weights_in_time             |
      | a run on old weights after connections to the store were reset | weights_in_time             |
      | a run on old weights after the soak was a little late          | weights_in_time             |

    Examples: Orders and processes
      | what                                       | rule                 |
      | two holders under one fencing token        | one_holder_of_orders |
      | a process that ends by itself              | nodes_stay_up        |
      | a process that SIGHUP ends                 | nodes_stay_up        |
      | a process that SIGHUP ends while it starts | nodes_stay_up        |
      | an unexpected error in a log               | nodes_stay_up        |
      | a node that never serves again             | serves_again         |

    Examples: What back ends say of themselves
      | what                                                                  | rule                 |
      | a run at a back end that said that it leaves                          | leaving_gets_nothing |
      | a run at a back end that said that it leaves while the store was down | leaving_gets_nothing |
      | three requests within a rest                                          | rest_is_kept         |
      | more requests than a limit allows                                     | limits_are_kept      |

  Scenario: A stop that takes a fresh request with it breaks two rules
    When a sound history of a soak also has a stop that SIGKILL ends with a fresh run
    Then the soak finds "stop_cuts_nothing" and "stop_ends_in_time" broken

  Scenario Outline: What is allowed is not found
    When a sound history of a soak also has <what>
    Then the soak finds nothing broken

    Examples:
      | what                                                |
      | nothing else                                        |
      | a failure of the node's own                         |
      | two runs of a repeatable request                    |
      | a refusal of what never runs                        |
      | a refusal of a repeatable request that had run      |
      | a stream that breaks off                            |
      | a resumed stream of two runs                        |
      | a stop that passes a request on its way             |
      | a stop with a back end that broke off               |
      | a stop of a paused node that cuts a run             |
      | a node that is killed under a run                   |
      | a stop while the soak was late                      |
      | a stop of a node that is held up                    |
      | a stop before the process had read anything         |
      | an older configuration beside a newer one           |
      | an older configuration at a node that started again |
      | a dropped route that works for a moment             |
      | a new route that is unknown for a moment            |
      | a new route that is unknown at a paused node        |
      | a new route that is unknown while the store is down |
      | a new route that is unknown at a slow node          |
      | a key that was removed just before                  |
      | a run on weights that were named just before        |
      | a run on old weights after the store was down       |
      | a run on old weights just after a pause             |
      | a run on old weights after the soak was late        |
      | two holders one after another                       |
      | a process that is killed                            |
      | a node that serves nothing while the soak is late   |
      | a process that SIGHUP ends before it listens        |
      | a run at a back end that has just said that it leaves     |
      | a run of another node at a back end that leaves           |
      | a run at a back end that leaves after a pause of the node |
      | two requests within a rest                                |
      | three requests just after a rest was asked for            |
      | three requests within a rest after the node started again |
      | as many requests as a limit allows                                |
      | more requests than a limit allows just after it was first stated  |
      | more requests than a limit allows after it has ended              |
      | more requests than a limit allows at a node that was not told     |
      | more requests than a limit allows after a pause of the node       |

  Scenario Outline: Events are read strictly, so that torn ones show
    Then a stream that ends as <outcome> with "<body>" has the events "<events>"

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

  Scenario: A kept history is judged the same way
    When a sound history of a soak also has a run on old weights
    And the history is written down and read again
    Then the soak finds "weights_in_time" broken, and nothing else

  Scenario: Traces in a node's log count as internal errors, once each
    When a node's log has the traces "plain, grouped, none"
    Then the internal errors are "ValueError: bad number; TypeError: Missing required argument"

  Scenario: A seed determines the schedule
    Then the schedules of seed 7 are equal, and differ from those of seed 8
    And eight schedules of an hour hold every kind of fault, and none beyond their end

  Scenario: Beside another release, nodes run both by turns
    Given a soak beside the checkout "older"
    Then node 0 is started from "this build, older, this build"
    And node 1 is started from "older, this build, older"

  Scenario: A short soak of a fixed seed shows nothing broken
    When node processes are soaked for 20 s with seed 5
    Then the soak shows nothing broken
    And callers were answered, nodes were stopped and configurations followed one another
    And none of its processes runs any more
