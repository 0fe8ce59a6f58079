#pragma once

#include <flamingosaddle/base/result.h>
#include <flamingosaddle/platform/platform.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/**
 * The JSON bodies of the platform's interfaces, as docs/PROTOCOL.md gives them. Decoders fail with Protocol on anything
 * else and never throw, whatever the bytes.
 */
namespace flamingosaddle::platformcodec
{

std::string encodeOrder(const PlatformOrder &order);
std::string encodeUsageReport(const UsageReport &report);

/**
 * The offset in the answer to an append.
 */
Result<std::uint64_t> decodeAppended(std::string_view body);
/**
 * Also fails when the offsets of the records do not count up, or lie before the batch's first or after its next offset.
 */
Result<LogBatch> decodeLogBatch(std::string_view body);
Result<std::vector<InstanceEntry>> decodeInstances(std::string_view body);
Result<std::vector<BackendMachine>> decodeMachines(std::string_view body);

/**
 * The error that an answer with a status other than 200 stands for: Trimmed for 410, Refused for any other status from
 * 400 to 499, Unavailable from 500 on (the action may have taken effect), Protocol for the rest.
 */
Error errorOf(int status, std::string_view body);

} // namespace flamingosaddle::platformcodec
