Feature: Each request gets one complete and correct answer, whatever a back end does
  Guards against requests that run twice although their route forbids it, against answers that are
  mixed up, cut or missing although a retry was allowed, and against forged headers at back ends.
  Orders are mutating requests, statuses idempotent ones, and the other kinds streams: resumable, with
  a single attempt, or fixed (two attempts, not resumable).
  Faults: connect (no connection), refuse (503 with proof that the request did not run), reset (no
  answer), break (body cut), cross (answer of another request), unsealed (no response seal), unproved
  (503 without proof), error (500), stall (silence between events), hang (silence before the answer).

  # The refusals of another request, or of a health check, guard against a caller that is told that its order
  # did not run and never will, although it runs (REFUSED): such a refusal may come late, a second time, in
  # the place of the order's answer. It was believed before it was asked to which request it belongs.
  Scenario Outline: One back end has the fault "<fault>" during <kind> request
    Given two back ends of which the one asked first does "<fault>" once
    When <kind> request is sent
    Then the caller gets "<answer>"
    And the request has run <runs> times

    Examples: kind of request, fault, answer to the caller, and number of runs
      | kind             | fault    | answer   | runs |
      | an order         | none     | whole    | 1    |
      | an order         | connect  | whole    | 1    |
      | an order         | refuse   | whole    | 1    |
      | an order         | reset    | 502      | 1    |
      | an order         | break    | 502      | 1    |
      | an order         | cross    | 502      | 1    |
      | an order         | refusal of another | 502 | 1  |
      | an order         | refusal of a health check | 502 | 1 |
      | an order         | unsealed | 502      | 1    |
      | an order         | unproved | 502      | 1    |
      | an order         | error    | 500      | 1    |
      | a status         | none     | whole    | 1    |
      | a status         | connect  | whole    | 1    |
      | a status         | refuse   | whole    | 1    |
      | a status         | reset    | whole    | 2    |
      | a status         | break    | whole    | 2    |
      | a status         | cross    | whole    | 2    |
      | a status         | refusal of a health check | whole | 2 |
      | a status         | unsealed | whole    | 2    |
      | a status         | unproved | whole    | 2    |
      | a status         | error    | whole    | 2    |
      | a status         | hang     | whole    | 2    |
      | a resumable      | none     | stream   | 1    |
      | a resumable      | connect  | stream   | 1    |
      | a resumable      | refuse   | stream   | 1    |
      | a resumable      | reset    | stream   | 2    |
      | a resumable      | break    | stream   | 2    |
      | a resumable      | stall    | stream   | 2    |
      | a resumable      | hang     | stream   | 2    |
      | a resumable      | cross    | stream   | 2    |
      | a resumable      | unsealed | stream   | 2    |
      | a single         | none     | stream   | 1    |
      | a single         | connect  | stream   | 1    |
      | a single         | refuse   | 503      | 0    |
      | a single         | reset    | 502      | 1    |
      | a single         | cross    | 502      | 1    |
      | a single         | refusal of a health check | 502 | 1 |
      | a single         | break    | cut      | 1    |
      | a single         | stall    | cut      | 1    |
      | a single         | hang     | 504      | 1    |
      | a fixed          | refuse   | stream   | 1    |
      | a fixed          | reset    | 502      | 1    |
      | a fixed          | break    | cut      | 1    |
      | a fixed          | unsealed | 502      | 1    |

  Scenario: A refusal with proof that the request did not run has a Retry-After
    Given two back ends of which the one asked first does "refuse" once
    When a single request is sent
    Then the caller gets "503"
    And the answer's Retry-After is at most 1 second

  Scenario: Without any back end a request is refused at once
    Given no back end
    When an order request is sent
    Then the caller gets "503"
    And the answer took at most 0.05 seconds

  Scenario: A resumed stream continues after the last complete event
    Given two back ends of which the one asked first does "break" once
    When a resumable request is sent
    Then the caller gets "stream"
    And the second back end was asked to resume after event 2
    And the answer has the headers of the back end tried first

  # An answer without length and chunks ends with its connection, also where the back end has crashed.
  Scenario Outline: A stream that ends inside an event is continued at another back end
    Given two back ends of which the one asked first does "<fault>" once
    When a resumable request is sent
    Then the caller gets "stream"
    And the request has run 2 times

    Examples:
      | fault            |
      | end_inside       |
      | end_before_blank |
      | end_before_event |
      | crlf_end_inside  |

  Scenario Outline: A stream that ends inside an event is broken off where it cannot be continued
    Given two back ends of which the one asked first does "<fault>" once
    When a single request is sent
    Then the caller gets "<answer>"

    Examples:
      | fault            | answer |
      | end_inside       | cut    |
      | end_before_blank | cut    |
      | end_before_event | 502    |
      | crlf_end_inside  | cut    |

  Scenario: An answer of another content type on a streaming route is relayed whole
    Given two back ends of which the one asked first does "text" once
    When a single request is sent
    Then the caller gets "whole"

  Scenario: A stream whose lines end with a carriage return and a line feed is whole at its end
    Given two back ends of which the one asked first does "crlf" once
    When a single request is sent
    Then the caller gets the whole stream with the line ends of the back end

  # Without the id of the last event, another back end would start from the first event again.
  Scenario: A stream whose events have no ids is broken off rather than begun again
    Given two back ends of which the one asked first does "break" once
    And the back ends' events have no ids
    When a resumable request is sent
    Then the caller gets each event at most once, and an answer that looks incomplete

  Scenario: A run is cancelled when its caller disconnects
    Given two back ends of which the one asked first does "hang" once
    When a single request is sent and its caller disconnects after 0.2 seconds
    Then the run is cancelled within 0.3 seconds

  Scenario Outline: A request is answered at its deadline or its route's timeout, whichever is earlier
    Given two back ends of which the one asked first does "hang" once
    And the route of <kind> requests has a timeout of <timeout_ms> ms
    When <kind> request is sent with a deadline of <deadline_ms> ms
    Then the answer took at most <seconds> seconds
    And no back end was given a deadline of more than <left_ms> ms

    Examples:
      | kind     | timeout_ms | deadline_ms | seconds | left_ms |
      | a single | 500        | 4000        | 0.55    | 500     |
      | a single | 4000       | 500         | 0.55    | 500     |
      | an order | 700        | 700         | 0.75    | 700     |

  Scenario Outline: A caller's value of a header that only the system sets is not forwarded
    Given two back ends of which the one asked first does "none" once
    When a single request is sent with the header "<header>" of "forged"
    Then the back end does not receive "forged" in "<header>"

    Examples:
      | header             |
      | x-tenant           |
      | x-cache-salt       |
      | x-kv-source        |
      | x-kv-target        |
      | x-expect-instance  |
      | x-expect-version   |
      | x-request-priority |
      | x-pin-ms           |
      | x-hold             |
      | x-kv-backup        |
      | kv-from            |
      | authorization      |

  Scenario Outline: A header that only the system sets is not forwarded when it is sent <form>
    Given two back ends of which the one asked first does "none" once
    When a single request is sent with each such header <form>
    Then no back end receives a forged value of them
    And the request's other headers reach the back end

    Examples:
      | form                                      |
      | twice                                     |
      | in upper case                             |
      | in mixed case                             |
      | after all other headers                   |
      | named in the connection header            |
      | next to a header with a similar name      |
      | with an empty value and then a forged one |

  Scenario: Path, query and body reach the back end unchanged
    Given two back ends of which the one asked first does "none" once
    When a single request is sent to "/n/%7Ex/..//y?q=%20&r"
    Then the back end received the target "/n/%7Ex/..//y?q=%20&r" and the body

  Scenario: A header that the caller's connection header names is not forwarded
    Given two back ends of which the one asked first does "none" once
    When a single request is sent with the header "connection" of "close, x-secret"
    Then the back end does not receive the header "x-secret"

  Scenario: The fleet's retry budget limits retries
    Given two back ends that fail each request
    And a retry budget of 0.2 per request and 5 extra in 10 seconds
    When 40 status requests are sent
    Then at most 13 of them were retried

  Scenario: A stream continues to its end after its back end's registration was removed
    Given two back ends of which the one asked first does "none" once
    And the first event of every stream takes 3 seconds
    When a single request is sent while all registrations are removed
    Then the caller gets "stream"
    And no run was cancelled

  Scenario Outline: Under overload a request is refused only at its caller's first try
    Given two back ends of which the one asked first does "none" once
    And both engines have <tokens> prompt tokens waiting
    When a single request is sent with a deadline of <deadline_ms> ms
    Then the caller gets "<answer>"

    Examples: an objective of 800 ms, a route's timeout of 4000 ms; another deadline may be that of a retry
      | tokens | deadline_ms | answer |
      | 0      | 4000        | stream |
      | 20000  | 4000        | stream |
      | 60000  | 4000        | 503    |
      | 60000  | 2500        | stream |
      | 60000  | 3700        | stream |
      | 60000  | 5000        | stream |

  Scenario Outline: A refused caller's retry is recognized, whatever the route's timeout
    Given two back ends of which the one asked first does "none" once
    And a timeout of <timeout_ms> ms on all routes to engines
    And both engines have 60000 prompt tokens waiting
    When a single request is sent with a deadline of <timeout_ms> ms
    And the caller retries after the stated Retry-After
    Then the caller gets "stream"

    Examples:
      | timeout_ms |
      | 2500       |
      | 4000       |
      | 12000      |
      | 60000      |

  Scenario Outline: A prompt whose own prefill exceeds the objective is refused only because of the queue
    Given two back ends of which the one asked first does "none" once
    And both engines have <tokens> prompt tokens waiting
    When a single request of <prompt> prompt tokens is sent with a deadline of 4000 ms
    Then the caller gets "<answer>"

    Examples: an objective of 800 ms; the prefill of 60,000 tokens takes longer at the initial rates
      | tokens | prompt | answer |
      | 0      | 20000  | stream |
      | 0      | 60000  | stream |
      | 10000  | 60000  | stream |
      | 60000  | 60000  | 503    |
      | 60000  | 1000   | 503    |

  # Guards against an answer that is cut 1.35 s before the caller's deadline. The first engine's stream
  # broke after 1 s. The second engine, tried 2 ms later, held the request for 2 s and refused it with
  # proof that it did not run. That refusal used up the second of the route's two attempts, although an
  # answer that has begun cannot be refused any more. The request's log line then has `200 cut`,
  # `refused_503` and `max_attempts`, with time left.
  Scenario Outline: A stream that has begun continues after a refusal
    Given two back ends that have the faults "<faults>", one at each attempt
    When a resumable request is sent
    Then the caller gets "<answer>"
    And the request has run <runs> times

    Examples: the route allows attempts at two back ends; up to three refusals do not count
      | faults                                 | answer | runs |
      | break, refuse                          | stream | 2    |
      | break, refuse, refuse, refuse          | stream | 2    |
      | break, refuse, refuse, refuse, refuse  | cut    | 1    |
      | break, refuse, break                   | stream | 3    |
      | break, break                           | cut    | 2    |
      | refuse, break                          | stream | 2    |

  Scenario Outline: Which attempts count towards the maximum of a route
    Given attempts that ended "<attempts>"
    Then <before> attempts count before an answer has begun, and <after> afterwards

    Examples: each back end counts once; one that may have run the request counts whatever else it did
      | attempts                                       | before | after |
      | A broken                                       | 1      | 1     |
      | A refused                                      | 1      | 0     |
      | A unreachable                                  | 0      | 0     |
      | A broken, B refused                            | 2      | 1     |
      | A broken, B refused, A broken                  | 2      | 1     |
      | A broken, B refused, B broken                  | 2      | 2     |
      | A broken, B broken, B refused                  | 2      | 2     |
      | A broken, B refused, C refused, D refused      | 4      | 1     |
      | A broken, B refused, B refused, B refused, C refused | 3 | 3     |

  # Guards against a node that spends its processor time on one request. A back end failed the request
  # and then ended, and no other one was left. An attempt that reaches no back end costs nothing and is
  # followed at once by another, so the node tried to connect to the unreachable back ends about a
  # thousand times a second until the request's deadline.
  Scenario: A request whose back ends are all unreachable is given up at once
    Given two back ends, of which one fails a request before both become unreachable
    When a status request is sent
    Then the request ends within 0.1 seconds, after at most 3 attempts
