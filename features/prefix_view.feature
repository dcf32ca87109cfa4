Feature: Digests applied by a node's view of caches

  Guards against a view that holds blocks that the engine no longer has, after lost, repeated or
  outdated digests, restarts of the engine and changes of its home node.

  # Digests: run, stream, number, "!" for a reset, "k" sample bits, blocks added (+) and removed (-).
  # "full" has all blocks at a digest's number. "wait" lets seconds pass. "run" announces a run.
  Scenario Outline: Blocks of the view after <fault>
    Given a view that has received "<arrivals>"
    Then the view holds exactly the blocks "<blocks>"
    And the outcome of the last digest was "<outcome>"

    Examples:
      | fault                                  | arrivals                              | blocks | outcome   |
      | digests in order                       | r1s5#1!+ab r1s5#2+c-a                 | bc     | applied   |
      | a repeated reset                       | r1s5#1!+ab r1s5#2-a r1s5#1!+ab        | b      | duplicate |
      | a lost digest                          | r1s5#1!+ab r1s5#3-a                   | ab     | gap       |
      | a lost digest sent again               | r1s5#1!+ab r1s5#3-a r1s5#2+c r1s5#3-a | bc     | applied   |
      | a lost digest never sent again         | r1s5#1!+ab r1s5#3-a wait4             |        | gap       |
      | a reset after a lost digest            | r1s5#1!+ab r1s5#3!+c                  | c      | applied   |
      | a home that sends nothing more         | r1s5#1!+ab wait11                     |        | applied   |
      | a digest of an earlier run             | r2s5#1!+ab r1s5#2+c                   | ab     | void      |
      | an engine that restarted empty         | r1s5#1!+ab r2s5#2!+c                  | c      | applied   |
      | a new run whose reset was lost         | r1s5#1!+ab r2s5#3+c                   |        | gap       |
      | announcement of a new run              | r1s5#1!+ab run2                       |        | applied   |
      | announcement of an earlier run         | r2s5#1!+ab run1                       | ab     | applied   |
      | a former home that still publishes     | r1s5#1!+ab r1s4#9!+c                  | ab     | void      |
      | a former home after the later stopped  | r1s5#1!+ab wait6 r1s4#9!+c            | c      | applied   |
      | a new home                             | r1s5#1!+ab r1s6#1!+c                  | c      | applied   |
      | a new home whose reset was lost        | r1s5#1!+ab r1s6#4+c                   | ab     | gap       |
      | a coarser sample                       | r1s5#1!+abc r1s5#2k1                  | bc     | applied   |
      | a coarser sample, refined again        | r1s5#1!+abc r1s5#2k1 r1s5#3k0         | bc     | applied   |
      | a full digest                          | r1s5#1!+ab r1s5#3-a full:r1s5#3+bc    | bc     | applied   |
      | a full digest older than the view      | r1s5#1!+ab r1s5#2-a full:r1s5#1+ab    | b      | void      |
      | a full digest of an earlier run        | r2s5#1!+ab full:r1s5#9+c              | ab     | void      |
      | a full digest of a former home         | r1s5#1!+ab full:r1s4#9+c              | ab     | void      |
      | a digest after a full one              | full:r1s5#3+ab r1s5#4-a               | b      | applied   |
