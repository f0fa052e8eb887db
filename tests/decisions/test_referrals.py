"""Tests of who gives a long answer to whom."""

from cuminhatch.decisions.referrals import HOLDERS_PER_DOMAIN, Referrals


def spread(instances, is_alive=lambda name: True):
    """Spread an answer over one failure domain; return sends and rounds."""
    books = {"origin": Referrals()}
    waiting = {f"i-{number}": "origin" for number in range(instances)}
    sends = dict.fromkeys(["origin", *waiting], 0)
    rounds = 0
    while waiting:
        rounds += 1
        for name, asked in list(waiting.items()):
            book = books.setdefault(asked, Referrals())
            if not is_alive(asked):
                books["origin"].note_holder(name, "here")
                asked, holder = "origin", None
            else:
                holder = book.choose_holder(name, "here")
            if holder is None:
                sends[asked] += 1
                del waiting[name]
            else:
                waiting[name] = holder
    return sends, rounds


def test_no_instance_sends_to_more_than_a_few():
    """Guards against 141 long answers from one narrow link."""
    sends, rounds = spread(141)
    assert max(sends.values()) == HOLDERS_PER_DOMAIN
    assert rounds <= 9


def test_all_get_the_answer_though_a_holder_dies():
    """Guards against a branch that waits for a dead instance."""
    sends, _ = spread(50, is_alive=lambda name: name != "i-0")
    assert sum(sends.values()) == 50


def test_each_failure_domain_has_its_own_holders():
    """Guards against long answers that cross borders again and again."""
    book = Referrals()
    assert [book.choose_holder(f"a{n}", "a") for n in range(3)][-1] in {"a0", "a1"}
    assert [book.choose_holder(f"b{n}", "b") for n in range(3)][-1] in {"b0", "b1"}
