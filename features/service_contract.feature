Feature: Contract of the service port, in process and over HTTP
  Guards against adapters that report a failure as another kind than it was, or an order as not run
  although the service ran it.

  Scenario Outline: A failed call is reported as its kind, consistently with what the service ran
    Given a print-shop service behind the "<port>" service port with the fault "<fault>"
    When one order is sent to the service
    Then the service port answers "<outcome>"
    And the service has recorded <runs> runs of the order with its idempotency key

    Examples:
      | port       | fault              | outcome     | runs |
      | in-process | none               | 200         | 1    |
      | in-process | fail_status=503    | 503         | 0    |
      | in-process | refuse_connections | unreachable | 0    |
      | in-process | break_before_run   | broken      | 0    |
      | in-process | break_after_run    | broken      | 1    |
      | in-process | stall_before_run   | timed_out   | 0    |
      | in-process | lose_answer        | timed_out   | 1    |
      | in-process | cross_answers      | corrupt     | 1    |
      | HTTP       | none               | 200         | 1    |
      | HTTP       | fail_status=503    | 503         | 0    |
      | HTTP       | refuse_connections | unreachable | 0    |
      | HTTP       | break_before_run   | broken      | 0    |
      | HTTP       | break_after_run    | broken      | 1    |
      | HTTP       | stall_before_run   | timed_out   | 0    |
      | HTTP       | lose_answer        | timed_out   | 1    |
      | HTTP       | cross_answers      | corrupt     | 1    |

  Scenario: An answer that is too large is refused
    Given a print-shop service behind the "HTTP" service port with the fault "none"
    When one order is sent to the service with room for 10 bytes of answer
    Then the service port answers "corrupt"
