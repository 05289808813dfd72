#include "balsammill/rpc/VerdictMessage.h"

namespace Balsammill {

balsammill::v1::Verdict toProto(Verdict verdict)
{
    switch (verdict) {
    case Verdict::NotRun:
        return balsammill::v1::VERDICT_NOT_RUN;
    case Verdict::MayHaveRun:
        return balsammill::v1::VERDICT_MAY_HAVE_RUN;
    case Verdict::Ran:
        return balsammill::v1::VERDICT_RAN;
    }
    return balsammill::v1::VERDICT_MAY_HAVE_RUN;
}

Verdict fromProto(balsammill::v1::Verdict verdict)
{
    if (verdict == balsammill::v1::VERDICT_NOT_RUN)
        return Verdict::NotRun;
    return verdict == balsammill::v1::VERDICT_RAN ? Verdict::Ran : Verdict::MayHaveRun;
}

} // namespace Balsammill
