Feature: A relayed connection behaves like a direct one
  Another node copies the bytes. What it cannot deliver must look broken, never complete.

  Scenario Outline: Two successive requests through a relay to a server that <behaviour>
    Given a server that "<behaviour>"
    When two requests are sent to it through a relay, one after the other
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
      | resets in an answer without a length       | broken      | broken      | 2           |
      | answers twice at once                      | answer 1    | answer 2    | 2           |
      | answers twice, the second time later       | answer 1    | answer 2    | 2           |
      | truncates the first answer                 | broken      | answer 2    | 2           |
      | truncates a chunk of the first answer      | broken      | answer 2    | 2           |
      | resets instead of the first answer         | ReadError   | answer 2    | 2           |
      | closes instead of the first answer         | RemoteProtocolError | answer 2 | 2      |
      | sends no HTTP the first time               | RemoteProtocolError | answer 2 | 2      |
      | is silent the first time                   | ReadTimeout | answer 2    | 2           |
      | stalls in the first answer                 | ReadTimeout | answer 2    | 2           |

  Scenario: A relay that ends in the middle of an answer leaves it broken
    Given a server that "answers when allowed"
    When the relay ends in the middle of an answer without a length
    Then the answer is broken

  Scenario: The back end's connection closes when the node closes its own
    Given a server that "answers when allowed"
    When a node closes its relayed connection in the middle of an answer
    Then the server sees the end within 0.5 seconds
    And the relay has no open connection left

  Scenario: A relay that stops lets the answers that it relays end
    Given a server that "answers when allowed"
    When the relay drains in the middle of an answer that ends 0.2 second later
    Then the answer is complete, and the relay has drained only then

  Scenario Outline: A relay opens no connection <case>
    Given a server that "answers with a length"
    When a node asks a relay for a connection <case>
    Then the relay answers "<outcome>" and the server gets no connection

    Examples:
      | case                              | outcome |
      | with a wrong token                | unknown |
      | to an address without a back end  | unknown |
      | while the relay is stopping       | busy    |
      | while it relays its maximum       | busy    |
      | while it has lost its own paths   | no_path |

  Scenario Outline: A relay answers for a back end that does not accept connections
    Given a server that "answers with a length"
    When a node asks a relay to reach a closed port, and <others>
    Then the relay answers "<outcome>"

    Examples:
      | others                               | outcome |
      | another back end accepts connections | refused |
      | no other back end does either        | no_path |
      | there is no other back end           | refused |

  # A process that stands still for a moment gives up a connection that was refused in the meantime.
  Scenario Outline: A relay whose two attempts are <attempts> answers "<outcome>"
    Given a server that "answers with a length"
    When a node asks a relay to reach a back end whose connections are "<attempts>"
    Then the relay answers "<outcome>"

    Examples:
      | attempts         | outcome     |
      | refused, refused | refused     |
      | refused, silent  | refused     |
      | silent, refused  | refused     |
      | silent, silent   | unreachable |

  Scenario Outline: A relay closes a connection on which <bytes> arrives
    Given a server that "answers with a length"
    When <bytes> arrives at a relay
    Then the relay closes that connection and serves the next one

    Examples:
      | bytes                   |
      | an HTTP request         |
      | a message of 4 GB       |
      | no valid message        |
      | nothing, and the end    |

  # Guards against a reset connection of one node that ends the relay's whole process.
  Scenario Outline: A relay survives nodes that reset their connections <when>
    Given a server that "<behaviour>"
    When 40 nodes reset their connections <when>, each a little later than the one before
    Then the relay still serves

    Examples:
      | when                          | behaviour                           |
      | before they ask for anything  | answers with a length               |
      | after they asked              | answers with a length               |
      | while they receive the answer | answers without a length and closes |
      | while they receive the answer | answers one byte at a time          |

  Scenario: Contents of frames do not depend on how their bytes arrive
    Then frames of 0 to 300 bytes in 200 random divisions decode to what was sent
