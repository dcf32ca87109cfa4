Feature: The command line and the operators' port

  Guards against commands that fail with a traceback or without a remedy, and against operator
  requests that start a drain by a GET.

  Scenario Outline: A wrong command prints one line that names the remedy
    When weirscale is called with "<arguments>"
    Then it exits with 2 after one line about "<about>"

    Examples:
      | arguments                      | about                  |
      | launch                         | see `weirscale --help` |
      | check                          | required argument      |
      | node --colour=red              | see `weirscale --help` |
      | node --zone=bole-hall          | peer_keys              |
      | node --settings=no-such.yaml   | check the path         |
      | experiment run experiments/tsehay.yaml --faults=rain | unknown fault |
      | experiment run no-such.yaml | no-such.yaml |

  Scenario: Help is printed without running anything
    When weirscale is called with "--help"
    Then it exits with 0 and prints the commands

  Scenario Outline: The operators' port answers
    Given the operator application of a node that routed request "r-1"
    When an operator sends <method> <path>
    Then the operator gets status <status> and "<text>"

    Examples:
      | method | path                                | status | text               |
      | GET    | /operator/explain/r-1               | 200    | "request_id":"r-1" |
      | GET    | /operator/explain/r-1?format=text   | 200    | request r-1        |
      | GET    | /operator/explain/r-2               | 404    | no live node       |
      | GET    | /operator/members                   | 200    | node-1             |
      | GET    | /operator/rollout                   | 200    | node-2             |
      | POST   | /operator/drain                     | 202    | draining           |
      | GET    | /operator/drain                     | 404    | is not served      |
      | GET    | /operator/other                     | 404    | docs/operators     |

  Scenario: Only a POST of a drain begins the planned stop
    Given the operator application of a node that routed request "r-1"
    When an operator sends GET /operator/drain
    Then the planned stop has begun 0 times
    When an operator sends POST /operator/drain
    Then the planned stop has begun 1 times
