Feature: The HTTP transport reuses connections safely
  A connection that is reused after an incomplete, surplus or unread answer would deliver bytes of
  one answer as part of the next one. A connection that is not released would use up the limit.

  Scenario Outline: Two successive requests to a server that <behaviour>
    Given a server that "<behaviour>"
    When two requests are sent to it, one after the other
    Then the answers are "<first>" and "<second>" over <connections> connections

    Examples:
      | behaviour                                  | first       | second      | connections |
      | answers with a length                      | answer 1    | answer 2    | 1           |
      | answers in chunks                          | answer 1    | answer 2    | 1           |
      | answers one byte at a time                 | answer 1    | answer 2    | 1           |
      | sends 100 Continue first                   | answer 1    | answer 2    | 1           |
      | answers before it reads the body           | answer 1    | answer 2    | 1           |
      | closes after each answer and announces it  | answer 1    | answer 2    | 2           |
      | closes after each answer unannounced       | answer 1    | answer 2    | 2           |
      | resets after each answer                   | answer 1    | answer 2    | 2           |
      | answers without a length and closes        | answer 1    | answer 2    | 2           |
      | answers twice at once                      | answer 1    | answer 2    | 2           |
      | answers twice, the second time later       | answer 1    | answer 2    | 2           |
      | truncates the first answer                 | broken      | answer 2    | 2           |
      | truncates a chunk of the first answer      | broken      | answer 2    | 2           |
      | resets instead of the first answer         | ReadError   | answer 2    | 2           |
      | closes instead of the first answer         | RemoteProtocolError | answer 2 | 2      |
      | sends no HTTP the first time               | RemoteProtocolError | answer 2 | 2      |
      | is silent the first time                   | ReadTimeout | answer 2    | 2           |
      | stalls in the first answer                 | ReadTimeout | answer 2    | 2           |

  Scenario: Sending a body that the server does not read ends with a timeout
    Given a server that "reads nothing"
    When a request of 32 MB is sent to it
    Then the request ends with "WriteTimeout" and its connection is closed

  # A failed write may use up the socket's error, and the read that follows would see a clean end.
  Scenario Outline: An answer that a reset cuts while its request is being sent is broken, <how>
    Given a server that "<how>"
    When a request of 32 MB is sent to it
    Then the request ends with "<outcome>" and its connection is closed

    Examples:
      | how                                               | outcome   |
      | closes in an answer without a length, body unread | ReadError |
      | resets in an answer without a length, body unread | ReadError |
      | closes without an answer, body unread             | ReadError |

  Scenario: A refused connection proves that the request was not sent
    Given an address without a listening socket
    When a request is sent to it
    Then the request ends with "ConnectError", which proves that it was never sent

  # If a connection is reset while a node opens it, the event loop has already dropped the socket, and
  # anyio reads the peer's name from None. That AttributeError ended the task that reads the store, and
  # with it the process.
  Scenario: A connection that is reset while it is opened raises a connection error
    Given a server that "answers with a length"
    When a connection to it is reset while it is opened
    Then the request was never sent, the connection is closed, and the next request is answered

  Scenario: The number of connections is limited, and a pool timeout proves that the request was not sent
    Given a server that "answers when allowed"
    When three requests are sent at once over two connections
    Then one request ends with "PoolTimeout", which proves that it was never sent
    And the two others are answered once the server may answer, over 2 connections

  Scenario: Abandoned requests release their connections
    Given a server that "answers when allowed"
    When forty requests over two connections are abandoned, some before and some during their answer
    Then two more requests can be sent at once

  Scenario Outline: The connection of an abandoned request is closed at once: <abandoned>
    Given a server that "answers when allowed"
    When a request is abandoned "<abandoned>"
    Then the server sees the end of its connection within 0.2 seconds

    Examples:
      | abandoned               |
      | by cancellation         |
      | after the head          |
      | after a part of the body |
      | by closing the transport |

  # Guards against events of one caller's stream in the answer of another, and against sound answers that are
  # broken off (MIXED). Cause: at the end of its body, and once more as it was closed, each answer gave its
  # connection back, which another request had taken in between.
  Scenario Outline: An answer that is closed, or read on, after its end leaves the next one on its connection alone
    Given a server that "<behaviour>"
    When an answer is read to its end and closed only while the next one is <next>
    Then the next answer is whole, over the same connection, and the first one has no more bytes
    And the connection is used once more

    Examples:
      | behaviour             | next                    |
      | answers with a length | waiting to be read      |
      | answers in chunks     | waiting to be read      |
      | answers with a length | at its end but not closed |

  Scenario: A connection that was idle for too long is closed and not reused
    Given a server that "answers with a length"
    When two requests are sent to it 0.3 seconds apart by a transport that keeps connections for 0.1 seconds
    Then the answers are "answer 1" and "answer 2" over 2 connections
    And the server saw the first connection end before the second request

  Scenario: Answers are complete however their bytes are split
    Given 200 random answers, each split into random pieces
    When these answers are read over one connection
    Then each body equals the one that was sent
